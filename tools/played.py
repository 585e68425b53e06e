"""Write the table of played days in docs/PLAYED.md from the journal.

Run at the root of the repository: `python tools/played.py`.
"""

import json
import pathlib
from collections import defaultdict
from dataclasses import dataclass

BEGIN = "<!-- table: tools/played.py -->"
END = "<!-- end of table -->"
ROOT = pathlib.Path(__file__).parent.parent


@dataclass(kw_only=True)
class Tally:
    """Days of one deployment that hold one kind of trouble.

    Days that broke a promise, and days that were given up or whose processes
    ended by themselves, have no worth to compare.
    """

    played: int = 0
    broken: int = 0
    faults: int = 0
    worst: float = 1.0

    def add(self, day):
        """Count a day as the journal tells of it."""
        self.played += 1
        if day["rules"]:
            self.broken += 1
        elif day["fault"]:
            self.faults += 1
        else:
            self.worst = min(self.worst, day["G"])

    def __str__(self):
        sound = self.played - self.broken - self.faults
        worst = f"{self.worst:.2f}" if sound else "-"
        return f"{self.played} / {self.broken} / {self.faults} / {worst}"


def read_days(folder):
    """Yield the deployment and each day of all entries of a journal."""
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        for day in entry.get("days") or []:
            yield entry["site"], day


def tabulate(days):
    """Return the table as lines of Markdown.

    Parameters
    ----------
    days : iterable of tuple
        Names of deployments, and days.

    Examples
    --------
    >>> day = {"troubles": ["burst"], "rules": {}, "fault": None, "G": 0.5}
    >>> bad = day | {"rules": {"LOST": 1}}
    >>> print(*tabulate([("a", day), ("a", bad), ("b", day)]), sep="\\n")
    | kind | a | b |
    | --- | --- | --- |
    | all days | 2 / 1 / 0 / 0.50 | 1 / 0 / 0 / 0.50 |
    | `burst` | 2 / 1 / 0 / 0.50 | 1 / 0 / 0 / 0.50 |
    """
    tallies = defaultdict(Tally)
    sites, kinds = set(), set()
    for site, day in days:
        sites.add(site)
        tallies[site, None].add(day)
        for kind in set(day["troubles"]):
            kinds.add(kind)
            tallies[site, kind].add(day)
    sites = sorted(sites)
    yield f"| kind | {' | '.join(sites)} |"
    yield "| --- " * (len(sites) + 1) + "|"
    for kind in (None, *sorted(kinds)):
        cells = [
            str(tallies[site, kind]) if (site, kind) in tallies else "not played"
            for site in sites
        ]
        yield f"| {f'`{kind}`' if kind else 'all days'} | {' | '.join(cells)} |"


def main():
    """Write the table into its page."""
    page = ROOT / "docs" / "PLAYED.md"
    text = page.read_text(encoding="utf-8")
    before, _, rest = text.partition(BEGIN)
    _, _, after = rest.partition(END)
    table = "\n".join(tabulate(read_days(ROOT / "journal")))
    page.write_text(f"{before}{BEGIN}\n\n{table}\n\n{END}{after}", encoding="utf-8")


if __name__ == "__main__":
    main()
