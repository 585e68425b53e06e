"""Plays floods in a test, and checks what each did."""

import asyncio

from guavastream.platform.flood import run_floods

__all__ = ["check_floods"]

# The smallest machine of any deployment.
MEMORY_MB = 200
SECONDS = 1.5
# Callers wait longer than the machine of a test can be busy with other tests.
TIMEOUT_SECONDS = 5.0
CALM_SECONDS = 0.5


def check_floods(names, folder):
    """Play floods one after another, and assert that each of them holds."""
    results = []

    async def play():
        floods = run_floods(
            names,
            folder=folder,
            seconds=SECONDS,
            timeout=TIMEOUT_SECONDS,
            calm=CALM_SECONDS,
            memory_mb=MEMORY_MB,
        )
        async for result in floods:
            results.append(result)

    asyncio.run(play())
    failed = [result.row() for result in results if not result.holds]
    assert not failed, failed
    assert len(results) == len(names)
