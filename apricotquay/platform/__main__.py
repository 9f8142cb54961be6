"""Entry point of a daemon on the platform."""

import asyncio
import sys

import fire

from ..errors import RequestError
from ..serving.daemon import Daemon
from .callers import CallerApi
from .engines import ServerClient
from .settings import load_boot
from .store import StoreClient
from .wire import PlatformDirectory


def _interface(online, jobs, metrics, clock, reporter):
    return CallerApi(online, jobs, metrics, clock, reporter).handle


async def _serve(metrics: str | None) -> None:
    settings = load_boot(metrics)
    store = StoreClient(settings.store.host, settings.store.port)
    daemon = Daemon(
        settings,
        store,
        PlatformDirectory(),
        ServerClient(),
        _interface,
        reload=lambda: load_boot(metrics),
    )
    await daemon.run()
    store.close()


def main(metrics: str | None = None) -> None:
    """Run a daemon with the settings file that the platform names.

    Args:
        metrics: where metrics are served, as PORT/PATH.
    """
    try:
        asyncio.run(_serve(metrics))
    except RequestError as exc:
        sys.exit(f"apricotquay: {exc.message}")


if __name__ == "__main__":
    fire.Fire(main)
