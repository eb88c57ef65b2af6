/**
 * The kernel's interface to services: how a service is declared, how it sends
 * messages to another service by name, and how it receives messages.
 */
import type {Stream} from 'most';
import type {Runtime} from './runtime.js';

/**
 * Message type of each service, by service name. Each service adds its own
 * property by declaration merging, next to its message type.
 */
export interface ServiceMessages {}

/** Name of a service with a declared message type. */
export type ServiceName = keyof ServiceMessages & string;

/** The context that the kernel passes to a service at its start. */
export interface ServiceContext<N extends ServiceName> extends Runtime {
  readonly name: N;
  /** Messages to this service, in sending order, for one observer. */
  readonly mailbox: Stream<ServiceMessages[N]>;
  /**
   * Sends a message to another service. The message is dropped and logged when
   * that service is not running.
   */
  send<T extends ServiceName>(to: T, message: ServiceMessages[T]): void;
  /**
   * Sends a message that carries a reply function and waits for the reply.
   * Rejects with an `OnyxError` when the service is not running or ends before
   * it replies.
   */
  ask<T extends ServiceName, R>(
    to: T,
    createMessage: (reply: (value: R) => void) => ServiceMessages[T],
  ): Promise<R>;
  /**
   * Registers a cleanup function to call when this service ends. The functions
   * are called in reverse order of registration.
   */
  own(release: () => void | Promise<void>): void;
  /** Ends this service; the kernel logs the cause and restarts the service. */
  fail(cause: unknown): void;
}

/** The declaration of a service, which owns its sockets and its state. */
export interface ServiceSpec<N extends ServiceName> {
  readonly name: N;
  /**
   * Starts the service, which observes its mailbox. Returns or resolves when
   * the service is ready for messages. If this function throws, the kernel calls
   * the service's cleanup functions and restarts it.
   */
  start(ctx: ServiceContext<N>): void | Promise<void>;
  /**
   * Called when the handler of a message has thrown, so that the service can
   * renew what the message may have left half done. The service goes on, and an
   * ask that the message carried is rejected. Undefined stands for a message that
   * an error in the mailbox itself may have lost.
   * @default the service ends and is started again
   */
  readonly messageFailed?: (
    ctx: ServiceContext<N>,
    message: ServiceMessages[N] | undefined,
  ) => void;
}
