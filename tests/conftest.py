"""Registers the plugin by which only tests listed in KNOWN-RED.txt may be expected to fail."""

from known_red import KnownRed


def pytest_configure(config):
    config.pluginmanager.register(KnownRed(config.rootpath / "KNOWN-RED.txt"), "known-red")
