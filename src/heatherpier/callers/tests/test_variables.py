import os

from heatherpier.callers._variables import SYSTEM_VARIABLES


def test_the_reported_machine_is_the_one_that_the_proxy_runs_on():
    # Guards against a constant that is true on one kind of machine only.
    assert SYSTEM_VARIABLES["version_compile_machine"] == os.uname().machine
