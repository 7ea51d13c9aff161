"""The complete list of events in the structured log."""

import enum

__all__ = ['LogEvent']


class LogEvent(enum.Enum):
    """The event of a log line.

    Attributes:
        event_name: the name of the event in the log.
        meaning: a description of the event.
    """

    STARTED = ('started', 'A process has started.')
    STOPPING = ('stopping', 'A planned stop began; running requests continue.')
    STOPPED = ('stopped', 'The process ends; `cut` requests were aborted.')
    RELOADED = ('reloaded', 'The settings were read again.')
    STORE_LOST = ('store_lost', 'A call to the store for `table` failed.')
    STORE_REGAINED = ('store_regained', 'The store answers for `table` again, '
                      'after `away_s` seconds.')
    STORE_RESTORED = ('store_restored', 'The store came back from an older '
                      'copy of itself; it is in `era` now.')
    STORE_HISTORY_LOST = ('store_history_lost', 'The store does not have the '
                          'changes of `table` after the version `after`, so '
                          'the table is read again.')
    CONFIG_APPLIED = ('config_applied', 'A configuration of `bytes` was '
                      'adopted; `source` is the store or a peer, `decode_s` '
                      'how long it took to decode.')
    CONFIG_OUTDATED = ('config_outdated', 'A configuration that is not newer '
                       'than the current one was ignored.')
    CONFIG_REJECTED = ('config_rejected', 'A configuration could not be read; '
                       'the previous one remains in effect.')
    CONFIG_PATCH_REJECTED = ('config_patch_rejected', 'Patches of a peer did '
                             'not fit the configuration; the whole one is '
                             'requested.')
    SERVER_LISTED = ('server_listed', 'A server appeared in the list.')
    SERVER_DRAINING = ('server_draining', 'A server changed its state.')
    SERVER_GONE = ('server_gone', 'A server no longer receives new work.')
    SERVER_LEAVING = ('server_leaving', 'A server said that it leaves; it gets '
                      'no new work from this host.')
    SERVER_PAUSED = ('server_paused', 'A server that rejected a request wants '
                     'no other one; it gets none from this host for `for_s`.')
    SERVER_LIMIT = ('server_limit', 'A server named how many requests per '
                    'second it accepts from all hosts together; without '
                    '`per_s` it no longer names a limit. `source` is the '
                    'server or a peer.')
    SERVER_WARMING = ('server_warming', 'A server warms up for `for_s`; it '
                      'gets a request only if no warm one has room. `cause` '
                      'is its start, its entry, or that its data centre was '
                      'taken back.')
    SERVER_WARM = ('server_warm', 'A server has warmed up.')
    SERVER_ENTRY_REJECTED = ('server_entry_rejected', 'An entry of the list '
                             'could not be read and is ignored.')
    DATA_CENTRE_EMPTIED = ('data_centre_emptied', 'The servers of a data '
                           'centre get no new requests from this host, since '
                           'an operator has emptied it; `source` is the store '
                           'or the peer that told it.')
    DATA_CENTRE_RESTORED = ('data_centre_restored', 'The servers of a data '
                            'centre that was emptied may get requests again.')
    PEER_FOUND = ('peer_found', 'Another entry host was detected.')
    PEER_SILENT = ('peer_silent', 'Heartbeats of another entry host stopped.')
    PEER_SNAPSHOT = ('peer_snapshot',
                     'A peer sent its cached rows of the store in `took_s`.')
    PEER_FETCH_FAILED = ('peer_fetch_failed', 'A peer did not send its cached '
                         'rows of the store; given up after `took_s`.')
    REQUEST_REFUSED = ('request_refused',
                       'A request was refused; it was not and '
                       'will not be executed.')
    REQUEST_WAITED = ('request_waited', 'A request waited for room at the '
                      'servers and was then sent or refused, with the room '
                      'and the demand by which that was decided.')
    REQUEST_FAILED = ('request_failed',
                      'A request failed; it may have been executed.')
    REQUEST_ANSWERED = ('request_answered', 'The complete response of a server '
                        'was forwarded.')
    CALLER_LEFT = ('caller_left', 'The caller closed its connection.')
    ATTEMPT = ('attempt', 'A server was chosen, with the load, configuration '
               'and time at the decision.')
    ATTEMPT_ENDED = ('attempt_ended', 'A server did not answer the request; '
                     '`cause` is the reason, `stage` how far the answer had '
                     'come.')
    SERVER_CRASHED = ('server_crashed', 'A server broke off its answers and '
                      'refuses connections. `begun` has the parts of '
                      'requests that it had begun to answer without a complete '
                      'event, `sent` those of requests without any answer.')
    PARTS_TESTED = ('parts_tested',
                    'A request with `parts` under which servers '
                    'may have crashed is sent, one at a time.')
    STREAM_RESUMED = ('stream_resumed', 'A stream continues at another server.')
    GROUP_PACE = ('group_pace', 'The passes of `group` have stopped, go on, or '
                  'take much longer or shorter than before; `pass_s` is 0 '
                  'until they were measured. `silent` ranks do not report, the '
                  '`slowest` takes `slowest_percent` of its normal time.')
    SPILL_CHANGED = ('spill_changed',
                     'The shares of requests to `service` that '
                     'this host moves to other data centres, with the slots '
                     'and the demand of each that they are derived from.')
    DUTY_TAKEN = ('duty_taken', 'This agent now plans the maps of `group`.')
    DUTY_LOST = ('duty_lost', 'Another agent holds the duty with a newer term.')
    GROUP_BROKEN = ('group_broken', 'The group of a duty held here is '
                    'stalled, or `missing` ranks do not report.')
    GROUP_WHOLE = ('group_whole', 'All ranks of the group run, in `epoch`.')
    SKEW_SEEN = ('skew_seen',
                 'The greatest load of `group` in the last `window_s` '
                 'seconds with the map in use, and the counts behind it.')
    PASSES = ('passes', 'The passes of `group` in the last second.')
    MAP_PLANNED = ('map_planned', 'Experts are to be copied; the mean of the '
                   'greatest loads falls from `before` to `after`.')
    MAP_SWITCHED = ('map_switched', 'All ranks switch to a map at `step`; '
                    'duration of each phase in seconds.')
    RANK_SLOW = ('rank_slow', 'A rank works `slowdown` times as long as normal '
                 'and holds its group back; its host is `of`. Its experts move '
                 'to other ranks; `own_part` of a normal pass is left to it.')
    RANK_UNRELIEVED = ('rank_unrelieved',
                       'No map takes enough work from a slow '
                       'rank: it keeps `load` times the mean.')
    RANK_RECOVERED = ('rank_recovered', 'A rank is as fast as normal again, '
                      'after `slow_s` seconds, and gets experts again.')
    MAP_RECOVERED = ('map_recovered', 'A pass left held by an earlier '
                     'coordinator is completed.')
    ORDER_FAILED = ('order_failed',
                    'A rank refused an order or did not answer; '
                    'it is repeated or the switch is abandoned.')
    TASK_FAILED = ('task_failed', 'A background task failed and is started '
                   'again; `error` says where.')
    LINES_DROPPED = ('lines_dropped',
                     '`count` lines before this one were dropped.')

    def __init__(self, event_name: str, meaning: str) -> None:
        self.event_name = event_name
        self.meaning = meaning
