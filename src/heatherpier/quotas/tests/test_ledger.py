"""The ledger spends each right at most once, and none after its expiry."""

from hypothesis import given
from hypothesis import strategies as st

from heatherpier.quotas._ledger import Ledger

steps = st.lists(
    st.tuples(
        st.sampled_from(["add", "take", "put back"]),
        st.floats(0.0, 0.3),
        st.floats(0.1, 3.0),
    ),
    max_size=80,
)


@given(steps=steps)
def test_rights_are_spent_once_and_before_their_expiry(steps):
    """Guards against rights that are doubled when they are split or put back."""
    ledger, now, added, taken = Ledger(), 0.0, 0.0, []
    for action, pause_s, amount in steps:
        now += pause_s
        if action == "add":
            ledger.add("acme", amount, expires_at=now + 0.5, now=now)
            added += amount
        elif action == "take":
            expires_at = ledger.take("acme", now)
            if expires_at is not None:
                assert now < expires_at <= now + 0.5
                taken.append(expires_at)
        elif taken:
            ledger.add("acme", 1.0, expires_at=taken.pop(), now=now)
        held = ledger.held("acme", now)
        assert abs(len(taken) + held + ledger.expired - added) < 1e-6
    assert ledger.take("acme", now + 0.5) is None
    assert ledger.held("acme", now + 0.5) == 0
