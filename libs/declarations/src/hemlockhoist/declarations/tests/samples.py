"""Declarations for tests: the example, a large fleet and a Hypothesis strategy."""

import pathlib

from hypothesis import strategies as st

from hemlockhoist.declarations import (
    Customer,
    CustomerDefaults,
    Declarations,
    Defaults,
    FleetException,
    Pool,
    PoolKind,
    Tier,
    parse_declarations,
)

EXAMPLE = pathlib.Path(__file__).parents[6] / "examples" / "declarations.yaml"


def example():
    """Return the declarations of the example file."""
    return parse_declarations(EXAMPLE.read_bytes())


def fleet(customers=1_700, pools=11):
    """Return declarations of the design size."""
    return Declarations(
        version=1,
        tiers=tuple(
            Tier(name=f"t{rank}", rank=rank, deadline_ms=1000, first_token_target_ms=9)
            for rank in range(5)
        ),
        customers=tuple(
            Customer(
                name=f"customer-{number:04}",
                key_sha256=(f"{number:064x}",),
                highest_tier=f"t{number % 5}",
                max_in_flight=64,
            )
            for number in range(customers)
        ),
        pools=tuple(
            Pool(name=f"model-{number}", kind=PoolKind.MODEL, stable_version="v1")
            for number in range(pools)
        ),
    )


_names = st.lists(st.sampled_from("abcdefgh"), max_size=4, unique=True)


@st.composite
def any_declarations(draw):
    """Draw declarations with and without overrides and exceptions."""
    limits = st.integers(1, 3)
    default = CustomerDefaults(max_in_flight=draw(limits), weight=draw(limits))
    customers = tuple(
        Customer(
            name=name,
            highest_tier="t",
            max_in_flight=draw(limits),
            weight=draw(limits),
        )
        for name in draw(_names)
    )
    pools = tuple(
        Pool(
            name=name,
            kind=draw(st.sampled_from(PoolKind)),
            stable_version=draw(st.sampled_from(["v1", "v2"])),
            max_body_bytes=draw(limits) * 1024,
        )
        for name in draw(_names)
    )
    exceptions = tuple(
        FleetException(
            kind="customer",
            name=item.name,
            field="weight",
            value=item.weight,
            reason=draw(st.sampled_from(["It is for the test.", "Another reason."])),
        )
        for item in customers
        if draw(st.booleans())
    )
    tier = Tier(name="t", rank=0, deadline_ms=1000, first_token_target_ms=9)
    return Declarations(
        version=1,
        tiers=(tier,),
        customers=customers,
        pools=pools,
        exceptions=exceptions,
        defaults=Defaults(customer=default),
    )
