import socket
import unittest

from hemlockhoist.standins.packet_filter import drop_packets

CUT_IP = "127.0.9.1"
LINKED_IP = "127.0.9.2"
TIMEOUT_S = 0.2


class PacketFilterTests(unittest.TestCase):
    def setUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def connect(self, ip):
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.bind((ip, 0))
        sock.settimeout(TIMEOUT_S)
        sock.connect(self.listener.getsockname())
        return sock

    def test_new_connections_of_an_address_get_no_answer(self):
        drop_packets(self.listener, [CUT_IP])
        with self.assertRaises(TimeoutError):
            self.connect(CUT_IP)
        self.connect(LINKED_IP)
        drop_packets(self.listener, [])
        self.connect(CUT_IP)

    def test_open_connection_falls_silent_and_goes_on(self):
        sock = self.connect(CUT_IP)
        accepted, _ = self.listener.accept()
        self.addCleanup(accepted.close)
        drop_packets(accepted, [LINKED_IP, CUT_IP])
        sock.send(b"lost")
        accepted.settimeout(TIMEOUT_S)
        with self.assertRaises(TimeoutError):
            accepted.recv(4)
        drop_packets(accepted, [LINKED_IP])
        accepted.settimeout(5)
        self.assertEqual(accepted.recv(4), b"lost")

    def test_socket_without_a_filter_may_be_freed(self):
        drop_packets(self.listener, [])
        self.connect(CUT_IP)
