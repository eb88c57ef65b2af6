/**
 * Names of things, as aliases of `string`, so that a signature tells which
 * name it takes. None of them may be guessed from another.
 */

/** `host:port` with a numeric IP, for example `127.0.0.1:7301`. */
export type Address = string;
/** Host (machine) name from the host list. */
export type HostId = string;
/** Name of one process of the system, as given in its settings. */
export type NodeId = string;
/** Random at each process start; a restarted process has another one. */
export type Incarnation = string;
/** Caller's request, 128 random bits, minted by the entry that admits it. */
export type RequestId = string;
/** One attempt to run a request on one upstream: `<request>.<attempt>`. */
export type DispatchId = string;
/** Organisation (customer), as the operators declare it. */
export type OrganisationId = string;
/** Model without its version, as the operators declare it. */
export type ModelId = string;
/** Pool of like upstreams, for example `onyx-pool` or `station-app`. */
export type PoolId = string;
/** Failure domain (zone) of a host, from the host list. */
export type FailureDomain = string;
/** Version number of the configuration; grows by one with each patch. */
export type ConfigNumber = number;
/** Number of a placer's lease; a higher one outlaws all lower ones. */
export type FencingNumber = number;
