"""Stand-in for the object store: `PUT` and `GET /objects/KEY`."""

from pollenthread.adapters import http_server
from tests.fakes import serving

__all__ = ['ObjectStoreHandler']


class ObjectStoreHandler(serving.FakeHandler):
    """Holds objects in memory; the fault `down` responds with status 503."""

    def __init__(self) -> None:
        super().__init__()
        self._objects_by_path: dict[str, bytes] = {}

    async def respond(self, request: http_server.HttpRequest,
                      response: http_server.HttpResponse) -> None:
        if self.faults.get('down'):
            await response.send(503, [], b'')
        elif request.method == 'PUT':
            self._objects_by_path[request.path] = request.body
            await response.send(204, [], b'')
        elif request.path in self._objects_by_path:
            await response.send(200, [], self._objects_by_path[request.path])
        else:
            await response.send(404, [], b'')


if __name__ == '__main__':
    serving.run(ObjectStoreHandler())
