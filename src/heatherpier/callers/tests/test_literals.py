"""Texts that become SQL literals and back."""

import pytest

from heatherpier.callers._literals import text_literal, text_of_literal


@pytest.mark.parametrize(
    "text", ["", "claim-7", "it's", "''", "a\\b", "\\\\", "\\'", "\\0", "\0", "'"]
)
def test_a_text_is_the_same_after_a_literal(text):
    assert text_of_literal(text_literal(text.encode(), charset="utf-8")) == text


def test_a_literal_of_another_type_is_its_own_text():
    assert text_of_literal("500") == "500"
    assert text_of_literal("NULL") == "NULL"
