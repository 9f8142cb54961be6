"""Requests that may reach some regions only: which endpoints, which peers."""

from parameterized import parameterized

from apricotquay.ids import EndpointId, RouteName, TeamId
from apricotquay.platform.settings import _convert_zones
from apricotquay.platform.wire import PlatformDirectory
from apricotquay.serving.catalog import (
    Route,
    RouteKind,
    ServiceName,
    Team,
    WeightedService,
    allowed_regions,
)
from apricotquay.serving.endpoints import Endpoint, EndpointTable
from apricotquay.serving.fleet.view import RecordUnreadableError
from apricotquay.serving.slots.dispatch import Dispatcher
from apricotquay.serving.slots.eligibility import Eligibility, Ineligible
from apricotquay.serving.slots.endpointslots import EndpointProfile
from apricotquay.serving.slots.tickets import (
    Granted,
    Revoked,
    Ticket,
    TicketId,
    Work,
    before_send,
)

from .base import ApricotTest
from .test_platform_wire import ROUTE, config
from .test_serving_dispatch import batch, online

LLM = ServiceName("llm")
NORTH, SOUTH = EndpointId("north"), EndpointId("south")
TENANT = {"name": "t", "api_keys": ["k"]}


def route(*regions: str) -> Route:
    """Return a route with allowed regions."""
    services = (WeightedService(LLM, 1.0),)
    return Route(
        RouteName("r"),
        "h",
        "/",
        RouteKind.SAFE,
        services,
        regions=frozenset(regions),
    )


def team(*regions: str) -> Team:
    """Return a team with allowed regions."""
    return Team(TeamId("t"), frozenset(), regions=frozenset(regions))


class AllowedRegionsTest(ApricotTest):
    """Regions of routes and teams."""

    @parameterized.expand(
        [
            ("neither", route(), team(), set()),
            ("no team", route("n"), None, {"n"}),
            ("route", route("n", "s"), team(), {"n", "s"}),
            ("team", route(), team("n"), {"n"}),
            ("both", route("n", "s"), team("s", "w"), {"s"}),
            ("none in common", route("n"), team("s"), None),
        ]
    )
    def test_both_bind(self, _name, of_route, of_team, expected):
        """None in common must not be taken for no restriction."""
        self.assertEqual(expected, allowed_regions(of_route, of_team))

    @parameterized.expand(
        [
            ("none", {}, set()),
            ("null", {"allowed_regions": None}, set()),
            ("empty", {"allowed_regions": []}, set()),
            ("two", {"allowed_regions": ["n", "s"]}, {"n", "s"}),
        ]
    )
    def test_configuration(self, _name, fields, expected):
        """Routes and teams have the same field."""
        record = config(routes=[ROUTE | fields], tenants=[TENANT | fields])
        decoded = PlatformDirectory().decode_configuration(record)
        found = decoded.find_route("a.example", "/x/1")
        self.assertEqual(expected, found.regions)
        self.assertEqual(expected, decoded.team_of("k").regions)

    @parameterized.expand([("text", "n"), ("numbers", [1]), ("object", {})])
    def test_regions_of_another_type_change_nothing(self, _name, value):
        """The earlier configuration stays: an ignored restriction leaks bodies."""
        with self.assertRaises(RecordUnreadableError):
            PlatformDirectory().decode_configuration(
                config(routes=[ROUTE | {"allowed_regions": value}])
            )

    @parameterized.expand(
        [
            ("none", None, {}),
            ("map", {"z": "n"}, {"z": "n"}),
            ("list", ["z"], {}),
            ("odd entries", {"z": "n", "y": 1, "x": None}, {"z": "n"}),
        ]
    )
    def test_zones_of_the_settings(self, _name, value, expected):
        """A settings file with other fields must not keep the daemon from starting."""
        self.assertEqual(expected, _convert_zones(value))


class RegionEligibilityTest(ApricotTest):
    """Endpoints of two regions, of which one is allowed."""

    def table(self) -> EndpointTable:
        """Return a table with an endpoint in each region."""
        table = EndpointTable()
        table.region_of = {"zn": "n", "zs": "s"}.get
        for number, (name, zone) in enumerate(((NORTH, "zn"), (SOUTH, "zs"))):
            table.apply(name, Endpoint(name, LLM, "h", 1, zone), number, 0.0)
        return table

    @parameterized.expand(
        [("any", (), True), ("own", ("n",), True), ("other", ("s",), False)]
    )
    def test_check_before_a_send(self, _name, regions, fits):
        """An owner of the previous release grants slots in any region."""
        checked = Eligibility(self.table()).check(
            NORTH, before_send("", frozenset(regions))
        )
        self.assertEqual(fits, checked is not Ineligible.OTHER_REGION)

    def test_serving_endpoints_of_regions(self):
        """Requests for a region without an endpoint are refused at once."""
        table = self.table()
        for regions, expected in (((), 2), (("n",), 1), (("n", "s"), 2), (("w",), 0)):
            found = list(table.serving(LLM, "", frozenset(regions)))
            self.assertEqual(expected, len(found))


class RegionDispatchTest(ApricotTest):
    """A slot table with endpoints of two regions."""

    def dispatcher(self, north: int, south: int) -> Dispatcher:
        """Return a table with slots in each region."""
        dispatcher = Dispatcher(seed=1)
        profiles = {
            NORTH: EndpointProfile("v1", "zn", "n"),
            SOUTH: EndpointProfile("v1", "zs", "s"),
        }
        counts = {NORTH: north, SOUTH: south}
        dispatcher.set_endpoints(counts, 0.0, profiles=profiles)
        return dispatcher

    @parameterized.expand([("online", Work.ONLINE), ("batch", Work.BATCH)])
    def test_other_regions_get_nothing(self, _name, work):
        """Free slots elsewhere tempt the table when those of the region are taken."""
        dispatcher = self.dispatcher(2, 8)
        granted = []
        for number in range(6):
            ticket = Ticket(
                TicketId(f"{number}"), work, 1.0, 9.0, regions=frozenset({"n"})
            )
            granted += dispatcher.request_slot(ticket, 0.0)
        self.assertEqual(
            [NORTH, NORTH], [d.endpoint for d in granted if isinstance(d, Granted)]
        )

    def test_waiting_ticket_of_a_region_holds_no_other_up(self):
        """Its region has no free slot, the other one has."""
        dispatcher = self.dispatcher(1, 2)
        regions = frozenset({"n"})
        for name in ("first", "second"):
            dispatcher.request_slot(online(name, regions=regions), 0.0)
        decisions = dispatcher.request_slot(online("any", due_s=0.9), 0.0)
        self.assertEqual([Granted(TicketId("any"), SOUTH)], decisions)

    def test_only_batch_items_in_the_region_are_revoked(self):
        """A slot elsewhere is of no use, and one item after the other would go."""
        dispatcher = self.dispatcher(1, 1)
        for number in range(2):
            dispatcher.request_slot(batch(f"item{number}", 9.0), 0.0)
        at_north = next(
            t for t in ("item0", "item1") if dispatcher.endpoint_of(t) == NORTH
        )
        ticket = online("now", due_s=1.3, regions=frozenset({"n"}))
        decisions = dispatcher.request_slot(ticket, 1.0)
        self.assertEqual([Revoked(TicketId(at_north))], decisions)
