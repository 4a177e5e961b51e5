"""Invariant checks on the share of a new version and on halted versions."""

from hemlockhoist.base import Property


def check_not_halted(invariants, row, halted_reason, version):
    """Check that a granted version is not halted.

    Parameters
    ==========
    invariants : hemlockhoist.base.InvariantLog
    row : Move
    halted_reason : str or None
    version : str

    Raises
    ======
    PropertyViolation
        If it is halted and violations are fatal.
    """
    invariants.check(
        Property.BAD_VERSION_SMALL_SHARE,
        halted_reason is None,
        f"pool {row.pool}: grant of halted version {version}: {halted_reason}",
    )


def check_share(invariants, row, lane):
    """Check that the grants of the new version on a lane are within its shares.

    Raises
    ======
    PropertyViolation
        If they are not and violations are fatal.
    """
    invariants.check(
        Property.BAD_VERSION_SMALL_SHARE,
        lane.is_within_share,
        f"pool {row.pool}, {lane.route}: {lane.new_count} of {lane.granted_count} "
        f"grants went to {row.to_version} at a share of {lane.share_permille} per mille",
    )
