"""HTTP control interface of a link."""

from collections.abc import AsyncIterator
from datetime import timedelta

from aiohttp import web

from standins.link._link import Link
from standins.link._mode import LinkMode


def create_app(link: Link) -> web.Application:
    """Creates the control application; the link is open while it runs."""
    control = _LinkControl(link)
    app = web.Application()
    app.cleanup_ctx.append(control.run)
    app.add_routes((web.post('/faults', control.change_faults),))
    return app


class _LinkControl:
    """Request handlers for one link."""

    def __init__(self, link: Link) -> None:
        self._link = link

    async def run(self, _app: web.Application) -> AsyncIterator[None]:
        """Keeps the link open while the application runs."""
        await self._link.open()
        yield
        await self._link.close()

    async def change_faults(self, request: web.Request) -> web.Response:
        """Sets the mode and the delay."""
        fields = await request.json()
        if 'delay_ms' in fields:
            self._link.delay = timedelta(milliseconds=fields['delay_ms'])
        if 'mode' in fields:
            await self._link.change_mode(LinkMode(fields['mode']))
        return web.json_response({})
