"""Stand-in for the host list of the platform.

`GET /hosts` returns the list. `PUT /hosts/NAME` adds or updates a host;
`DELETE /hosts/NAME` removes it.
"""

import hashlib
import json
from typing import Any

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['HostListHandler']

_PREFIX = '/hosts/'


class HostListHandler(serving.FakeHandler):
    """Holds hosts in memory.

    Faults: `down` responds with status 503; `frozen` hides later changes of the
    list.
    """

    def __init__(self) -> None:
        super().__init__()
        self._host_by_name: dict[str, dict[str, Any]] = {}
        self._published_hosts: list[dict[str, Any]] = []

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if self.faults.get('down'):
            await response.send(503, [], b'')
            return
        name = request.path[len(_PREFIX):]
        if request.method == 'PUT':
            previous = self._host_by_name.get(name, {})
            self._host_by_name[name] = {
                **previous, 'name': name,
                **json.loads(request.body)
            }
        elif request.method == 'DELETE':
            self._host_by_name.pop(name, None)
        if not self.faults.get('frozen'):
            self._published_hosts = [
                dict(host) for host in self._host_by_name.values()
            ]
        etag_value = hashlib.sha256(json.dumps(
            self._published_hosts).encode()).hexdigest()[:16]
        if request.header('if-none-match') == f'"{etag_value}"':
            await response.send_head(304, [('etag', f'"{etag_value}"')])
            await response.finish()
            return
        await response.send_json(200, self._published_hosts,
                                 [('etag', f'"{etag_value}"')])


if __name__ == '__main__':
    serving.run(HostListHandler())
