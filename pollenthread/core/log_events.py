"""The closed list of events in the structured log."""

import enum

__all__ = ['LogEvent']


class LogEvent(enum.Enum):
    """What a line of the log tells; the value is its name in the line."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    RELOADED = 'reloaded'
    STORE_LOST = 'store_lost'
    STORE_REGAINED = 'store_regained'
    CONFIG_APPLIED = 'config_applied'
    CONFIG_REJECTED = 'config_rejected'
    SERVER_LISTED = 'server_listed'
    SERVER_DRAINING = 'server_draining'
    SERVER_GONE = 'server_gone'
    SERVER_ENTRY_REJECTED = 'server_entry_rejected'
    PEER_FOUND = 'peer_found'
    PEER_SILENT = 'peer_silent'
    PEER_SNAPSHOT = 'peer_snapshot'
    REQUEST_REFUSED = 'request_refused'
    REQUEST_FAILED = 'request_failed'
    REQUEST_ANSWERED = 'request_answered'
    CALLER_LEFT = 'caller_left'
    ATTEMPT = 'attempt'
    ATTEMPT_ENDED = 'attempt_ended'
    STREAM_RESUMED = 'stream_resumed'
    DUTY_TAKEN = 'duty_taken'
    DUTY_LOST = 'duty_lost'
    GROUP_REFORMED = 'group_reformed'
    MAP_PLANNED = 'map_planned'
    MAP_SWITCHED = 'map_switched'
    MAP_RECOVERED = 'map_recovered'
    ORDER_FAILED = 'order_failed'
    LINES_DROPPED = 'lines_dropped'
