"""Listening sockets that go on accepting connections whatever errors occur."""

from hemlockhoist.listeners.acceptor import Acceptor
from hemlockhoist.listeners.http import HttpListener
from hemlockhoist.listeners.listening import BACKLOG

__all__ = ["BACKLOG", "Acceptor", "HttpListener"]
