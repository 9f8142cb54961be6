"""Lets other tasks run between pieces of work that wait for nothing."""

import asyncio

PIECES_PER_TURN = 64


class TurnKeeper:
    """Gives up the event loop after so many pieces of work.

    Parsing what has been received never waits, so that no timer and no other
    connection is served meanwhile. Used by each connection for the pieces that it
    parses.
    """

    def __init__(self) -> None:
        self._pieces: int = 0

    async def end_piece(self) -> None:
        """Count a piece of work; let other tasks run if it was the last of a turn."""
        self._pieces += 1
        if self._pieces >= PIECES_PER_TURN:
            self._pieces = 0
            await asyncio.sleep(0)
