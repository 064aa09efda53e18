"""Shares the processor among connections whose bytes are expensive to parse."""

import asyncio
from collections import deque
from typing import Protocol


class Worker(Protocol):
    """Something that does a limited piece of work in each turn."""

    def take_turn(self) -> None:
        """Do one piece of work; the worker asks for another turn if there is more."""
        ...


class Turns:
    """Lets one worker do one piece of work in each iteration of the event loop, in turn.

    A client can send many lines or chunks of one byte, each of which costs as much as a large one.
    Parsed as they arrive, they would keep the loop from everything else for seconds.
    """

    def __init__(self) -> None:
        """Start without a worker."""
        self._workers: deque[Worker] = deque()
        self._scheduled = False

    def add(self, worker: Worker) -> None:
        """Give a worker one turn, after those that asked before."""
        self._workers.append(worker)
        if not self._scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self._run_one)

    def _run_one(self) -> None:
        try:
            self._workers.popleft().take_turn()
        finally:
            self._scheduled = False
            if self._workers:
                self._schedule()
