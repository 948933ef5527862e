"""Test processes with the same preferred block of ports get ports of their own:
ports.py BURDOCKSHED.  Two blocks stand for two processes whose IDs differ by a
multiple of the number of blocks."""

import standin


def main():
    blocks = [standin.PortBlock(7), standin.PortBlock(7)]
    ports = [{b.free_port() for _ in range(standin.BLOCK_PORTS - 1)}
             for b in blocks]
    print("ports:", [len(p) for p in ports])
    print("shared:", sorted(ports[0] & ports[1]))
    print("locks handed out:", [b.first in p for b, p in zip(blocks, ports)])


main()
