"""Names that the platform defines: HTTP headers, URL paths, tables, values."""

__all__ = [
    'HeaderName', 'UrlPath', 'StoreTable', 'REQUEST_KIND_BY_NAME',
    'SERVER_STATE_BY_NAME'
]

from pollenthread.core import routing_config, server_registry


class HeaderName:
    """HTTP header names, in lower case as in the HTTP adapters."""

    REQUEST_ID = 'pollenthread-request-id'
    DEADLINE_MS = 'pollenthread-deadline-ms'
    # Id of the server that must execute the request.
    TARGET_SERVER = 'pollenthread-target-instance'
    SERVER_ID = 'pollenthread-instance-id'
    # Present, with any value, if the server did not execute the request.
    NOT_EXECUTED = 'pollenthread-not-executed'
    # Running requests, waiting requests and slots, separated by commas.
    SERVER_LOAD = 'pollenthread-server-load'
    # Requests per second that the server accepts from all hosts together.
    SERVER_LIMIT = 'server-limit'
    # '1' in the responses of a server that leaves.
    SERVER_LEAVING = 'server-leaving'
    RESPONSE_STAMP = 'pollenthread-response-stamp'
    # The platform's term for a workspace is "tenant".
    WORKSPACE = 'pollenthread-tenant'
    # Prompt tokens and maximum output tokens, separated by a comma.
    TOKEN_COUNT = 'pollenthread-token-count'
    # Parts of the prompt as `id:tokens`, separated by commas.
    PROMPT_PREFIX = 'pollenthread-prompt-prefix'
    LENGTH_HINT = 'pollenthread-length-hint'
    # Admission priority from 0, the highest, to 9.
    PRIORITY = 'pollenthread-request-priority'
    LAST_EVENT_ID = 'last-event-id'
    AUTHORIZATION = 'authorization'
    RETRY_AFTER = 'retry-after'
    # Rises each time the store comes back from an older copy of itself.
    STORE_ERA = 'store-era'
    KEEP_ALIVE = 'keep-alive'


class UrlPath:
    """URL paths of HTTP calls from and to the platform."""

    READINESS = '/pollenthread/readyz'
    ENTRY_ADDRESSES = '/pollenthread/resolve'
    RANK_STATUS = '/pollenthread/report'
    # How often each expert was chosen.
    EXPERT_COUNTS = '/pollenthread/picked'
    RANK_ORDER = '/pollenthread/order'
    WRITE_ROWS = '/pollenthread/rows-tx'
    READ_ROWS = '/pollenthread/rows-get'
    WATCH_ROWS = '/pollenthread/rows-feed'


class StoreTable:
    """Tables and keys in the platform's store that the platform writes."""

    OPERATOR = 'op'
    CONFIG_KEY = 'config'
    SERVERS = 'servers'


REQUEST_KIND_BY_NAME = {
    'idempotent': routing_config.RequestKind.IDEMPOTENT,
    'non_idempotent': routing_config.RequestKind.NON_IDEMPOTENT,
    'streaming': routing_config.RequestKind.STREAM,
}

SERVER_STATE_BY_NAME = {
    'ready': server_registry.ServerState.READY,
    'draining': server_registry.ServerState.DRAINING,
}
