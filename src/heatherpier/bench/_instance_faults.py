"""Faults that tests inject into a stand-in instance."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class InstanceFaults:
    """Faults of one instance.

    Attributes:
        paused: The instance runs no statement and sends no answer.
        replication_stopped: The instance fetches no entries from the primary.
        lag_ms: Delay in milliseconds between a commit and its arrival at this
            instance.
        slow_ms: Extra delay of each statement, in milliseconds.
        work_ms: Time that a statement on data occupies its slot, in milliseconds.
        drop_answers: Count of upcoming COMMITs whose answer is lost after they took
            effect.
        double_answers: Count of upcoming answers that arrive twice.
        late_commit_ms: Delay in milliseconds with which the next COMMIT arrives,
            after its connection was lost; 0 for none.
        lose_answers_to: Count of upcoming answers that are lost after their statement
            took effect, by the start of the statement.
        refuse_connections: New connections fail.
        cut_off: Names of peers that can't be reached, in both directions.
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

    def consume_answer_loss(self, sql: str) -> bool:
        """Returns whether the answer to ``sql`` is lost, and counts the loss."""
        if sql.startswith("COMMIT") and self.drop_answers:
            self.drop_answers -= 1
            return True
        for prefix, remaining in self.lose_answers_to.items():
            if remaining and sql.startswith(prefix):
                self.lose_answers_to[prefix] = remaining - 1
                return True
        return False
