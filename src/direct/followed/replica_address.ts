/** Addresses in the records of replicas, from the store or from a peer. */
import {isIPv4} from 'node:net';
import {splitAddress} from '../settings.js';

const PORT_PATTERN = /:\d+$/;

/** Whether the address is an IPv4 address with a valid port. */
export function isReplicaAddress(address: string): boolean {
  const parts = splitAddress(address);
  return parts !== undefined && isIPv4(parts.ip) && PORT_PATTERN.test(address);
}
