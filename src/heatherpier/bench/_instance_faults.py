"""What can go wrong at a stand-in instance."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class InstanceFaults:
    """Switches of one instance.

    Attributes:
        paused: Nothing is answered and nothing is done.
        replication_stopped: No entries are fetched from the primary.
        lag_ms: Delay between a commit and its arrival at this instance.
        slow_ms: Extra delay of each statement.
        work_ms: Time that a statement on data holds its slot.
        drop_answers: Count of coming COMMIT answers that are lost after the effect.
        double_answers: Count of coming answers that arrive twice.
        late_commit_ms: The next COMMIT arrives this much later, after its
            connection was lost; 0 for none.
        lose_answers_to: Count of coming answers that are lost after the effect, by
            the start of their statement.
        refuse_connections: New connections fail.
        cut_off: Names of peers that can't be reached, both ways.
    """

    paused: bool = False
    replication_stopped: bool = False
    lag_ms: int = 0
    slow_ms: int = 0
    work_ms: int = 0
    drop_answers: int = 0
    double_answers: int = 0
    late_commit_ms: int = 0
    lose_answers_to: dict[str, int] = field(default_factory=dict)
    refuse_connections: bool = False
    cut_off: set[str] = field(default_factory=set)

    def takes_answer(self, sql: str) -> bool:
        """Tells whether the answer to ``sql`` is to be lost, and counts it."""
        if sql.startswith("COMMIT") and self.drop_answers:
            self.drop_answers -= 1
            return True
        for start, left in self.lose_answers_to.items():
            if left and sql.startswith(start):
                self.lose_answers_to[start] = left - 1
                return True
        return False
