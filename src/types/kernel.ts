/**
 * The kernel's face to services: how a service is declared, how it finds
 * another by name, and how messages reach it.
 */
import type {Stream} from 'most';
import type {Runtime} from './runtime.js';

/**
 * Messages of each service by the service's name. A service adds its own line
 * by declaration merging next to its message type.
 */
export interface ServiceMessages {}

/** Name of a service that has declared its messages. */
export type ServiceName = keyof ServiceMessages & string;

/** What a service gets when it is started. */
export interface ServiceContext<N extends ServiceName> extends Runtime {
  readonly name: N;
  /** Messages to this service, in order of sending. One observer. */
  readonly mailbox: Stream<ServiceMessages[N]>;
  /** Sends to another service; dropped and logged when it is not running. */
  send<T extends ServiceName>(to: T, message: ServiceMessages[T]): void;
  /**
   * Sends a message that carries a reply function, and waits for the reply.
   * Rejects with an `OnyxError` when the service is not running or ends.
   */
  ask<T extends ServiceName, R>(
    to: T,
    createMessage: (reply: (value: R) => void) => ServiceMessages[T],
  ): Promise<R>;
  /** Registers what to release when this service ends, newest first. */
  own(release: () => void | Promise<void>): void;
  /** Ends this service with a cause; the kernel logs it and restarts it. */
  fail(cause: unknown): void;
}

/** A service: a task that owns its sockets and state. */
export interface ServiceSpec<N extends ServiceName> {
  readonly name: N;
  /**
   * Starts the task. It observes its mailbox and returns when it is ready to
   * get messages. A throw here or in the mailbox's observer ends the task; the
   * kernel releases what it owned and starts it anew.
   */
  start(ctx: ServiceContext<N>): void | Promise<void>;
}
