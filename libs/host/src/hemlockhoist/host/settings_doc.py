"""Generates the page ``docs/SETTINGS.md`` from the table of settings."""

from hemlockhoist.host.client_limits import CLIENT_LIMITS
from hemlockhoist.host.settings_kinds import describe
from hemlockhoist.host.settings_table import SETTINGS

_HEAD = """# Settings

Generated from `hemlockhoist.host.settings_table`; a test checks that this page matches.
To regenerate it: `python -m hemlockhoist.host.settings_doc > docs/SETTINGS.md`.

Every setting is a flag of `hemlockhoist host run` and an environment variable; a flag
takes precedence over a variable. A name ends in its unit: `_ms` milliseconds, `_bytes`
bytes, `_permille` thousandths. All faults are reported at once at start. An environment
variable with the prefix `HEMLOCKHOIST_` that names no setting is also a fault.

Secrets are shown as `***` in `status` and logs. Other users of the machine can read the
flags of a process: pass a secret by its variable, or as `@FILE`.

| Setting | Flag | Variable | Default | Allowed | What it does |
|---|---|---|---|---|---|
"""

_TAIL = """
## Variables that are not settings of a host

| Variable | Read by | What it does |
|---|---|---|
| `HEMLOCKHOIST_HOST` | operators' commands | Addresses of hosts, `IP:port`, separated by spaces. |
| `HEMLOCKHOIST_OPERATOR_KEY` | operators' commands | The key they send; the same name as the host's setting. |
| `HEMLOCKHOIST_AUTHOR` | `declare apply`, `move start` | Author of the change, for the history. |
| `HEMLOCKHOIST_CA_FILE` | operators' commands | Certificates (PEM) to verify hosts with; if set, HTTPS is used. |
| `HEMLOCKHOIST_ROOT` | the binary | Folder on a memory file system to which it is unpacked, by default `/run/hemlockhoist`. |
"""

_LIMITS_HEAD = """
## Limits on clients

No setting changes them. A client inside the declared limits meets none of them. What is
refused or cut off is logged as `connection_cut` and counted by `connections.cut`; at the
address for other hosts it is logged as `peer_rejected` or `peer_connection_cut`.

| What | Limit | Beyond it |
|---|---|---|
"""


def settings_page():
    """Return the page as Markdown text."""
    settings = "".join(_row(setting) for setting in SETTINGS)
    limits = "".join(
        f"| {item.subject} | {item.value} | {item.effect} |\n" for item in CLIENT_LIMITS
    )
    return _HEAD + settings + _LIMITS_HEAD + limits + _TAIL


def _row(setting):
    default = "required" if setting.required else f"`{setting.default}`"
    if not setting.required and not setting.default:
        default = "none"
    name = setting.name + (" (secret)" if setting.is_secret else "")
    cells = (
        name,
        f"`{setting.flag}`",
        f"`{setting.variable}`",
        default,
        describe(setting.kind),
        setting.help,
    )
    return "| " + " | ".join(cells) + " |\n"


if __name__ == "__main__":
    print(settings_page(), end="")
