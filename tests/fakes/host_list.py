"""Stand-in for the platform's list of hosts.

`GET /hosts` shows the list. `PUT /hosts/NAME` adds or changes a host;
`DELETE /hosts/NAME` takes it away.
"""

import hashlib
import json
from typing import Any

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['HostListHandler']

_PREFIX = '/hosts/'


class HostListHandler(serving.FakeHandler):
    """Hosts in memory; the fault `frozen` shows an old list."""

    def __init__(self) -> None:
        super().__init__()
        self._by_name: dict[str, dict[str, Any]] = {}
        self._shown: list[dict[str, Any]] = []

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if self.faults.get('down'):
            await response.send(503, [], b'')
            return
        name = request.path[len(_PREFIX):]
        if request.method == 'PUT':
            known = self._by_name.get(name, {})
            self._by_name[name] = {
                **known, 'name': name,
                **json.loads(request.body)
            }
        elif request.method == 'DELETE':
            self._by_name.pop(name, None)
        if not self.faults.get('frozen'):
            self._shown = [dict(host) for host in self._by_name.values()]
        tag = hashlib.sha256(json.dumps(self._shown).encode()).hexdigest()[:16]
        if request.header('if-none-match') == f'"{tag}"':
            await response.send_head(304, [('etag', f'"{tag}"')])
            await response.finish()
            return
        await response.send_json(200, self._shown, [('etag', f'"{tag}"')])


if __name__ == '__main__':
    serving.run(HostListHandler())
