"""The time that an answer usually takes, by kind of statement."""

# Weight of an answer that was quicker or slower than usual. The estimate follows
# quicker answers sooner, so that an instance that turns slow does not soon count as
# usual.
QUICKER_WEIGHT = 0.05
SLOWER_WEIGHT = 0.01


class UsualTimes:
    """Moving averages of the time that answers of all instances take."""

    def __init__(self) -> None:
        self._usual_s: dict[str, float] = {}

    def excess_s(self, kind: str, *, took_s: float) -> float:
        """Records an answer and returns by how much it was slower than usual.

        Args:
            kind: Kind of statement; only times of one kind are compared.
            took_s: Time from sending the statement to its answer, in seconds.

        Returns:
            Seconds; negative if the answer was quicker.
        """
        usual_s = self._usual_s.get(kind, took_s)
        excess_s = took_s - usual_s
        weight = SLOWER_WEIGHT if excess_s > 0 else QUICKER_WEIGHT
        self._usual_s[kind] = usual_s + weight * excess_s
        return excess_s
