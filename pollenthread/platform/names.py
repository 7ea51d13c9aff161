"""Names of headers, paths and words on the wire."""

__all__ = ['Header', 'Path', 'Table', 'KIND_WORDS', 'STATE_WORDS']

from pollenthread.core import server_registry, routing_config


class Header:
    """Header names in lower case, as the HTTP adapters hold them."""

    REQUEST_ID = 'pollenthread-request-id'
    DEADLINE_MS = 'pollenthread-deadline-ms'
    # The id of the server that a request is for.
    TARGET_SERVER = 'pollenthread-target-instance'
    SERVER_ID = 'pollenthread-instance-id'
    # Present when the server did not run the request.
    NOT_RUN = 'pollenthread-not-executed'
    # Running, waiting and slots, separated by commas.
    SERVER_LOAD = 'pollenthread-server-load'
    STAMP = 'pollenthread-response-stamp'
    WORKSPACE = 'pollenthread-tenant'
    # Prompt tokens and the greatest number of output tokens.
    TOKENS = 'pollenthread-token-count'
    PROMPT_PARTS = 'pollenthread-prompt-prefix'
    OUTPUT_ESTIMATE = 'pollenthread-length-hint'
    # 0 is admitted first, 9 last.
    URGENCY = 'pollenthread-request-priority'
    LAST_EVENT_ID = 'last-event-id'
    AUTHORIZATION = 'authorization'
    RETRY_AFTER = 'retry-after'
    KEEP_ALIVE = 'keep-alive'


class Path:
    """Paths of calls."""

    READY = '/pollenthread/readyz'
    RESOLVE = '/pollenthread/resolve'
    REPORT = '/pollenthread/report'
    EXPERT_COUNTS = '/pollenthread/picked'
    ORDER = '/pollenthread/order'
    COMMIT = '/pollenthread/rows-tx'
    READ = '/pollenthread/rows-get'
    WATCH = '/pollenthread/rows-feed'


class Table:
    """Tables and keys of the store that the platform writes."""

    OPERATOR = 'op'
    CONFIG_KEY = 'config'
    SERVERS = 'servers'


KIND_WORDS = {
    'idempotent': routing_config.RequestKind.IDEMPOTENT,
    'non_idempotent': routing_config.RequestKind.NON_IDEMPOTENT,
    'streaming': routing_config.RequestKind.STREAM,
}

STATE_WORDS = {
    'ready': server_registry.ServerState.READY,
    'draining': server_registry.ServerState.DRAINING,
}
