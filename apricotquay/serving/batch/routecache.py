"""Finds the routes of batch items."""

from ..catalog import Configuration, Route
from ..fleet.view import View
from .jobtable import Job

MAX_CACHED_ROUTES = 20_000


class RouteCache:
    """The routes of items in the current configuration, each found once."""

    def __init__(self, view: View) -> None:
        self._view: View = view
        self._configuration: Configuration | None = None
        self._routes: dict[tuple[str, str], Route | None] = {}

    def find(self, job: Job, index: int) -> Route | None:
        """Return the route of an item, None without one or a configuration."""
        configuration = self._view.configuration
        if configuration is None:
            return None
        if configuration is not self._configuration:
            self._configuration = configuration
            self._routes.clear()
        target = (job.header.host, job.items[index].path)
        if target not in self._routes:
            if len(self._routes) >= MAX_CACHED_ROUTES:
                self._routes.clear()
            self._routes[target] = configuration.find_route(*target)
        return self._routes[target]
