"""`pages`: write the pages of docs/ that are made from the code."""

import os

from guavastream.commands.registry import command
from guavastream.kernel import metrics_page, settings_page
from guavastream.routing import refusals_page

__all__ = ["GENERATED_PAGES", "errors_page"]

ERRORS_HEAD = """\
# Error codes

## Towards callers

Each has the header `Guavastream-Code` and a JSON body `{"code", "ran", "text",
"request"}`. "not run" means that it had no effect and will have none.

"""
ERRORS_TAIL = """
A request that cannot be read as HTTP (two lengths, a length beside chunks, a
folded header line, a line that ends in a bare LF, headers over 32 KiB, ...) is
`bad_request` too, and its connection is closed.

## Towards operators

| code | exit status | meaning |
| --- | --- | --- |
| `missing`, `bad_value`, `bad_name`, `unknown_name` | 2 | a finding, with its place |
| `bad_toml`, `unknown_preset`, `unreadable` | 2 | a finding about a file |
| `bad_events` | 2 | a file of events that cannot be read |
| `address_in_use`, `folder_in_use` | 2 | a port or the data folder is taken |
| `conflict` | 3 | another change won; it is named |
| `change_id_reused` | 3 | the same change id came with another content |
| `refused` | 3 | the change cannot be made; the text says why |
| `unauthorized` | 1 | wrong or missing operators' token |
| `unreachable`, `not_ready`, `peer_timeout` | 4 | nobody answered; see below |
| `log_damaged` | 1 | the control log is damaged; see the operator's guide |
| `not_caught_up`, `last_voter`, `unknown_voter` | 1 | the voters stay as they are |
| `busy`, `wrong_voter` | 1 | the voters stay as they are, at this moment |

After exit status 4 a change may still be accepted: resend it with the same
change id.

Exit status 0 is done, 1 failed, 2 bad input, 3 conflict or refused change, 4
the system cannot be reached, 5 a promise was found broken (`demo`, `bench`,
`timeline --check`).
"""


def errors_page():
    """Return docs/errors.md, made from the refusals."""
    return ERRORS_HEAD + refusals_page() + ERRORS_TAIL


GENERATED_PAGES = {
    "settings.md": settings_page,
    "metrics.md": metrics_page,
    "errors.md": errors_page,
}


@command("pages", summary="Write the pages of docs/ that are made from the code.")
def _setup_pages(parser):
    parser.add_argument("folder", help="folder to write to")
    return _pages


def _pages(arguments):
    for name, make in GENERATED_PAGES.items():
        path = os.path.join(arguments.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(make())
