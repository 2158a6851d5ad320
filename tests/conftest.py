"""What holds for all tests: KNOWN-RED.txt alone says which failures are passed over."""

from known_red import KnownRed


def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config.rootpath / "KNOWN-RED.txt"), "known-red")
