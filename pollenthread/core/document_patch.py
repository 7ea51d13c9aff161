"""Patches that turn one version of a document into another one.

A document is cut into pieces at each opening brace, so that the objects of a
JSON document are pieces of their own. A patch copies the pieces that the
earlier document has and carries the others. A whole document is a patch of the
empty one.
"""

import dataclasses
import struct
import zlib
from collections.abc import Iterable, Iterator

__all__ = ['EMPTY_VERSION', 'DocumentPatch', 'PatchError', 'make_patch']

EMPTY_VERSION = 0
"""The version of the empty document."""

_SEPARATOR = b'{'
# The offset and the length of the bytes to copy, then the length of the bytes
# that follow the instruction and are to be inserted.
_INSTRUCTION = struct.Struct('<III')
_COMPRESSION_LEVEL = 1
# A patch that expands beyond this is not one of ours.
_MAX_DOCUMENT_BYTES = 64 * 1024 * 1024


class PatchError(ValueError):
    """The patch does not belong to the document, or is damaged."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentPatch:
    """A patch between two versions of a document.

    Attributes:
        base: the version that it applies to; `EMPTY_VERSION` for none.
        version: the version that it results in.
        content: the compressed instructions.
        checksum: the CRC-32 of the resulting document.
    """

    base: int
    version: int
    content: bytes
    checksum: int

    @property
    def is_whole(self) -> bool:
        """Whether the patch needs no earlier document."""
        return self.base == EMPTY_VERSION

    def apply(self, document: bytes) -> bytes:
        """Returns the resulting document.

        Args:
            document: the document of version `base`.

        Raises:
            PatchError: the document is another one, or the patch is damaged.
        """
        try:
            result = b''.join(_follow(_decompress(self.content), document))
        except (zlib.error, struct.error) as error:
            raise PatchError(str(error)) from error
        if zlib.crc32(result) != self.checksum:
            raise PatchError('the resulting document has another checksum')
        return result


def make_patch(before: bytes, after: bytes, *, base: int,
               version: int) -> DocumentPatch:
    """Returns the patch from one document to another.

    Args:
        before: the earlier document; empty for a patch of the whole.
        after: the later document.
        base: the version of `before`.
        version: the version of `after`.
    """
    instructions = b''.join(
        _INSTRUCTION.pack(offset, length, len(inserted)) + inserted
        for offset, length, inserted in _compare(before, after))
    return DocumentPatch(base=base,
                         version=version,
                         content=zlib.compress(instructions,
                                               _COMPRESSION_LEVEL),
                         checksum=zlib.crc32(after))


def _pieces(document: bytes) -> Iterator[bytes]:
    """Yields the document in pieces, each but the first after a brace."""
    first, *others = document.split(_SEPARATOR)
    if first:
        yield first
    for piece in others:
        yield _SEPARATOR + piece


def _compare(before: bytes, after: bytes) -> Iterable[tuple[int, int, bytes]]:
    """Yields offsets and lengths to copy, each with the bytes to insert."""
    offset_by_piece: dict[bytes, int] = {}
    offset = 0
    for piece in _pieces(before):
        offset_by_piece.setdefault(piece, offset)
        offset += len(piece)
    start = length = 0
    inserted: list[bytes] = []
    for piece in _pieces(after):
        found = offset_by_piece.get(piece)
        if found is None:
            inserted.append(piece)
        elif not inserted and found == start + length:
            length += len(piece)
        else:
            yield start, length, b''.join(inserted)
            start, length = found, len(piece)
            inserted.clear()
    yield start, length, b''.join(inserted)


def _decompress(content: bytes) -> bytes:
    """Returns the instructions.

    Raises:
        zlib.error: they are damaged.
        PatchError: they are incomplete or too long.
    """
    decompressor = zlib.decompressobj()
    instructions = decompressor.decompress(content, _MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise PatchError('the patch is incomplete or too long')
    return instructions


def _follow(instructions: bytes, document: bytes) -> Iterator[bytes]:
    """Yields the pieces of the resulting document."""
    position = size = 0
    while position < len(instructions):
        offset, length, inserted = _INSTRUCTION.unpack_from(
            instructions, position)
        position += _INSTRUCTION.size
        size += length + inserted
        if size > _MAX_DOCUMENT_BYTES:
            raise PatchError('the resulting document is too long')
        yield document[offset:offset + length]
        yield instructions[position:position + inserted]
        position += inserted
