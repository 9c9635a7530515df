/** Addresses of sockets as text: `IP:port`, with brackets around an IPv6. */
import {isIPv4, isIPv6} from 'node:net';

export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const MAX_PORT = 65_535;

/** The parts of an address; undefined if it is not valid. */
export function parseAddress(text: string): SocketAddress | undefined {
  const read = /^(?:\[([\da-fA-F:.]{2,45})\]|([\d.]{7,15})):(\d{1,5})$/.exec(
    text,
  );
  if (!read) return undefined;
  const [, ipv6 = '', ipv4 = '', digits] = read;
  const port = Number(digits);
  if (!(isIPv6(ipv6) || isIPv4(ipv4)) || port < 1 || port > MAX_PORT)
    return undefined;
  return {host: ipv6 || ipv4, port};
}
