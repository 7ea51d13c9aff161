"""Checks the heads of requests and decodes them."""

import h11

from pollenthread.adapters import http_message
from pollenthread.core import errors

__all__ = [
    'BadRequestError', 'announces_body', 'check_head', 'decode_request',
    'framing_failure', 'parsed_bytes', 'too_large_failure'
]

_HTTP_SCHEME = 'http://'
# Objects for one field, or for one part of a list in a field.
_FIELD_BYTES = 256


class BadRequestError(Exception):
    """The request is invalid and is rejected without calling the handler."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


def check_head(head: h11.Request, limits: http_message.ServerLimits) -> None:
    """Rejects requests that the parser accepts but this server does not.

    Raises:
        BadRequestError: the head is too large, or its HTTP version or framing
            is not supported.
    """
    if head.http_version != b'1.1':
        raise _framing_error('Use HTTP/1.1.')
    size = len(head.target)
    lengths = 0
    encodings = 0
    for name, value in head.headers:
        size += len(name) + len(value) + 4
        if name == b'content-length':
            lengths += 1
            if int(value) > limits.max_body_bytes:
                raise BadRequestError(too_large_failure(limits))
        elif name == b'transfer-encoding':
            encodings += 1
    if size > limits.max_head_bytes or len(
            head.headers) > limits.max_head_fields:
        raise BadRequestError(
            errors.make_failure(errors.ErrorKind.HEAD_TOO_LARGE))
    if lengths and encodings:
        raise _framing_error('Give content-length or transfer-encoding, '
                             'not both.')


def announces_body(head: h11.Request) -> bool:
    """Whether a body that is not empty follows."""
    return any(name == b'transfer-encoding' or
               (name == b'content-length' and int(value))
               for name, value in head.headers)


def parsed_bytes(head: h11.Request) -> int:
    """Returns the memory of a head and of what is decoded from it."""
    size = len(head.target)
    items = 0
    for name, value in head.headers:
        size += len(name) + len(value)
        items += 1 + value.count(b',')
    return size + items * _FIELD_BYTES


def decode_request(head: h11.Request, body: bytes,
                   peer: str) -> http_message.HttpRequest:
    """Returns the request of a head and a body.

    Args:
        head: the parsed head.
        body: the complete body.
        peer: the IP address of the client.
    """
    target = head.target.decode('ascii', 'replace')
    if target[:len(_HTTP_SCHEME)].lower() == _HTTP_SCHEME:
        _, slash, path = target[len(_HTTP_SCHEME):].partition('/')
        target = slash + path if slash else '/'
    return http_message.HttpRequest(method=head.method.decode('ascii'),
                                    target=target,
                                    headers=tuple(
                                        (name.decode('ascii'),
                                         value.decode('latin-1'))
                                        for name, value in head.headers),
                                    body=body,
                                    client_ip=peer)


def _framing_error(detail: str) -> BadRequestError:
    return BadRequestError(
        errors.make_failure(errors.ErrorKind.BAD_FRAMING, detail))


def too_large_failure(limits: http_message.ServerLimits) -> errors.Failure:
    """Returns the failure for a body that is too large."""
    return errors.make_failure(
        errors.ErrorKind.BODY_TOO_LARGE,
        f'The body may have {limits.max_body_bytes} bytes at most.')


def framing_failure(error: h11.RemoteProtocolError) -> errors.Failure:
    """Returns the failure for an error of the parser."""
    if error.error_status_hint == 431:
        return errors.make_failure(errors.ErrorKind.HEAD_TOO_LARGE)
    return errors.make_failure(errors.ErrorKind.BAD_FRAMING, str(error))
