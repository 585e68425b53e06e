"""Waiting for a book that comes at the last moment."""

import asyncio

from guavastream.emulator import run_paused
from guavastream.fleet import Book, BookCodec
from guavastream.replica import TableHolder


def test_a_book_that_comes_as_the_time_is_over_has_come():
    """Guards against waiters who are told that nothing came while it is there."""

    async def main():
        loop = asyncio.get_running_loop()
        books = TableHolder(codec=BookCodec())
        waiting = asyncio.ensure_future(books.wait(3, 1.0))
        await asyncio.sleep(0)
        loop.call_at(loop.time() + 1.0, lambda: books.replace(Book(index=3)))
        assert await waiting

    run_paused(main())
