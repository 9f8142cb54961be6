"""Entry point of the event-loop daemon on the Teranga platform."""

import asyncio
import sys

import fire

from ..errors import RequestError
from ..serving.daemon import Daemon
from .callers import CallerApi
from .engines import ServerClient
from .settings import load_settings
from .store import StoreClient
from .wire import PlatformDirectory


def _create_handler(online, jobs, metrics, clock, reporter):
    return CallerApi(online, jobs, metrics, clock, reporter).handle


async def _run_daemon(metrics: str | None) -> None:
    settings = load_settings(metrics)
    store = StoreClient(settings.store.host, settings.store.port)
    daemon = Daemon(
        settings,
        store,
        PlatformDirectory(),
        ServerClient(),
        _create_handler,
        reload=lambda: load_settings(metrics),
    )
    await daemon.run()
    store.close()


def main(metrics: str | None = None) -> None:
    """Run a daemon with the settings file that the platform provides.

    Args:
        metrics: port and path at which metrics are served, as PORT/PATH.
    """
    try:
        asyncio.run(_run_daemon(metrics))
    except RequestError as exc:
        sys.exit(f"apricotquay: {exc.message}")


if __name__ == "__main__":
    fire.Fire(main)
