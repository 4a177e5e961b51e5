"""Generates ``docs/RESULT_CODES.md`` from the table of result codes."""

from hemlockhoist.base.results import RESULTS

_HEAD = """# Result codes

Generated from `hemlockhoist.base.results`; a test checks that this page is up to date.
To regenerate it: `python -m hemlockhoist.base.results_doc > docs/RESULT_CODES.md`.
`hemlockhoist codes` prints the same table.

Every answer has its code in the header `X-Result-Code` and in the body. The header
`X-Request-Ran` states whether the request ran: `not run`, `run` or `outcome unknown`.
If the same request may be sent again, the answer has a `Retry-After` header.

| Hundreds | Group |
|---|---|
| 0 | success |
| 1xx | invalid requests of callers |
| 2xx | refusals before dispatch: nothing ran |
| 3xx | failures after dispatch |
| 4xx | operators, declarations, settings |
| 5xx | communication between hosts |
| 6xx | the platform's service |

| Code | Name | HTTP | Ran | May be sent again | Meaning | What to do next |
|---|---|---|---|---|---|---|
"""


def results_page():
    """Return the page as Markdown."""
    return _HEAD + "".join(_row(RESULTS[code]) for code in sorted(RESULTS))


def _row(row):
    cells = (
        str(int(row.code)),
        f"`{row.code.name}`",
        str(row.http_status),
        row.ran.value,
        "yes" if row.retryable else "no",
        row.meaning,
        row.remedy,
    )
    return "| " + " | ".join(cells) + " |\n"


if __name__ == "__main__":
    print(results_page(), end="")
