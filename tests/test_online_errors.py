"""Unexpected errors while the threaded daemon runs an online request."""

import contextlib
from unittest.mock import Mock

from parameterized import parameterized

from apricotquay.clocks import SystemClock
from apricotquay.errors import ErrorKind, RequestError
from apricotquay.events import Event
from apricotquay.online import OnlineRequestHandler

from .base import ApricotTest


class UnexpectedOnlineErrorTest(ApricotTest):
    """A handler whose engine client fails with an error that it doesn't convert."""

    @parameterized.expand(
        [
            (f"{call} {type(error).__name__}", call, error)
            for call in ("stream", "call_service")
            for error in (ConnectionResetError(104, "reset"), KeyError("x"))
        ]
    )
    def test_error_of_an_endpoint_is_not_taken_for_the_callers_leaving(
        self, _name, call, error
    ):
        """The caller gets an error, and the log does not say that it hung up."""
        engines, events, poison = Mock(), Mock(), Mock()
        getattr(engines, call).side_effect = error
        poison.track_running.return_value = contextlib.nullcontext()
        poison.suspects.return_value = {}
        environment = Mock(current=None)
        handler = OnlineRequestHandler(
            environment,
            Mock(),
            Mock(),
            Mock(),
            engines,
            poison,
            Mock(),
            SystemClock(),
            events,
        )
        request = Mock(arrived_s=0.0, deadline_s=1e9)
        with self.assertRaises(RequestError) as caught:
            if call == "stream":
                list(handler.stream(request))
            else:
                handler.call_service(request, "GET", "/", {}, b"")
        self.assertIs(ErrorKind.INTERNAL, caught.exception.kind)
        outcomes = [
            written.kwargs["outcome"]
            for written in events.write.call_args_list
            if written.args[0] is Event.REQUEST_ENDED
        ]
        self.assertEqual(["internal"], outcomes)
