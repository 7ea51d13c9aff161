"""Names of headers, paths and words on the wire."""

__all__ = [
    'HeaderName', 'UrlPath', 'StoreTable', 'REQUEST_KIND_BY_NAME',
    'SERVER_STATE_BY_NAME'
]

from pollenthread.core import fleet, routing_config


class HeaderName:
    """Header names in lower case, as the HTTP adapters hold them."""

    REQUEST_ID = 'pollenthread-request-id'
    DEADLINE_MS = 'pollenthread-deadline-ms'
    # The id of the server that a request is for.
    TARGET_SERVER = 'pollenthread-target-instance'
    SERVER_ID = 'pollenthread-instance-id'
    # Present when the server did not run the request.
    NOT_EXECUTED = 'pollenthread-not-executed'
    # Running, waiting and slots, separated by commas.
    SERVER_LOAD = 'pollenthread-server-load'
    RESPONSE_STAMP = 'pollenthread-response-stamp'
    WORKSPACE = 'pollenthread-tenant'
    # Prompt tokens and the greatest number of output tokens.
    TOKEN_COUNT = 'pollenthread-token-count'
    PROMPT_PREFIX = 'pollenthread-prompt-prefix'
    LENGTH_HINT = 'pollenthread-length-hint'
    # 0 is admitted first, 9 last.
    PRIORITY = 'pollenthread-request-priority'
    LAST_EVENT_ID = 'last-event-id'
    AUTHORIZATION = 'authorization'
    RETRY_AFTER = 'retry-after'
    KEEP_ALIVE = 'keep-alive'


class UrlPath:
    """Paths of calls."""

    READINESS = '/pollenthread/readyz'
    ENTRY_ADDRESSES = '/pollenthread/resolve'
    RANK_STATUS = '/pollenthread/report'
    EXPERT_COUNTS = '/pollenthread/picked'
    RANK_ORDER = '/pollenthread/order'
    WRITE_ROWS = '/pollenthread/rows-tx'
    READ_ROWS = '/pollenthread/rows-get'
    WATCH_ROWS = '/pollenthread/rows-feed'


class StoreTable:
    """Tables and keys of the store that the platform writes."""

    OPERATOR = 'op'
    CONFIG_KEY = 'config'
    SERVERS = 'servers'


REQUEST_KIND_BY_NAME = {
    'idempotent': routing_config.RequestKind.IDEMPOTENT,
    'non_idempotent': routing_config.RequestKind.NON_IDEMPOTENT,
    'streaming': routing_config.RequestKind.STREAM,
}

SERVER_STATE_BY_NAME = {
    'ready': fleet.ServerState.READY,
    'draining': fleet.ServerState.DRAINING,
}
