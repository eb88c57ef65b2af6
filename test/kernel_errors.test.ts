/** Errors in the messages and the end of a service of the kernel. */
import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createKernel} from '../src/kernel/kernel.js';
import type {Kernel} from '../src/kernel/kernel.js';
import type {ServiceContext, ServiceSpec} from '../src/types/kernel.js';
import type {Runtime} from '../src/types/runtime.js';
import {KERNEL_EVENTS} from '../src/utils/events.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';
import type {RecordingRuntime} from '../standins/recording_runtime.js';

type ProbeMsg =
  | {readonly kind: 'note'; readonly text: string}
  | {readonly kind: 'throws' | 'rejects'; reply?(value: string): void}
  | {readonly kind: 'answers'; reply(value: string): void};

declare module '../src/types/kernel.js' {
  interface ServiceMessages {
    readonly probe: ProbeMsg;
  }
}

const MESSAGE_FAILED_METRIC = 'onyxloft_message_failed_total';
const SERVICE_FAILED_METRIC = 'onyxloft_service_failed_total';
/** Longest wait for a restart after the first failure, in milliseconds. */
const RESTART_MS = 100;
/** Longer than the kernel waits for one release, in milliseconds. */
const RELEASES_MS = 2_100;

let recorded: RecordingRuntime;
let kernel: Kernel;
/** That of the newest start. */
let context: ServiceContext<'probe'>;
let starts: number;
let notes: string[];
let repaired: Array<ProbeMsg | undefined>;
beforeEach(() => {
  recorded = createRecordingRuntime();
  kernel = createKernel(recorded.runtime);
  starts = 0;
  notes = [];
  repaired = [];
});
afterEach(async () => {
  const stopped = kernel.stop();
  await recorded.clock.runFor(3 * RELEASES_MS);
  await stopped;
});

function handle(message: ProbeMsg): void | Promise<void> {
  switch (message.kind) {
    case 'note':
      notes.push(message.text);
      return;
    case 'answers':
      return message.reply('answered');
    case 'throws':
      throw new Error('the handler throws');
    case 'rejects':
      return Promise.reject(new Error('the handler rejects'));
  }
}

const failing: ServiceSpec<'probe'> = {
  name: 'probe',
  start: ctx => {
    starts++;
    context = ctx;
    void ctx.mailbox.observe(handle).catch(() => undefined);
  },
};
const goingOn: ServiceSpec<'probe'> = {
  ...failing,
  messageFailed: (_ctx, message) => void repaired.push(message),
};

const failedAt = (kind: string) =>
  recorded.metrics.total(MESSAGE_FAILED_METRIC, {service: 'probe', kind});
const note = (text: string) => kernel.send('probe', {kind: 'note', text});

describe('an error at a message of a service that goes on', () => {
  // Guards against one message that ends all requests of a service, and against
  // state that it left half done.
  test.each(['throws', 'rejects'] as const)(
    'ends that message only where the handler %s',
    async kind => {
      await kernel.start(goingOn);
      note('before');
      kernel.send('probe', {kind});
      note('behind');
      await recorded.clock.runFor(RESTART_MS);
      note('later');
      await recorded.clock.settle();
      expect(notes).toEqual(['before', 'behind', 'later']);
      expect(starts).toBe(1);
      expect(repaired).toEqual([{kind}]);
      expect(failedAt(kind)).toBe(1);
      expect(
        recorded.eventsOf(KERNEL_EVENTS.messageFailed).map(it => it.fields),
      ).toMatchObject([{service: 'probe', kind}]);
    },
  );

  // Guards against who asks and waits for a reply that nobody will give.
  test.each(['throws', 'rejects'] as const)(
    'rejects the ask at once where the handler %s',
    async kind => {
      await kernel.start(goingOn);
      const asked = kernel.ask<'probe', string>('probe', reply => ({
        kind,
        reply,
      }));
      let cause = '';
      asked.catch((err: unknown) => (cause = String(err)));
      await recorded.clock.settle();
      expect(cause).toContain(kind);
      expect(recorded.clock.now()).toBe(0);
    },
  );

  // Guards against an ask without an end since an error follows the first one.
  test('rejects the ask though it cannot be forgotten', async () => {
    const {delete: forget} = Set.prototype;
    await kernel.start({
      ...goingOn,
      start: ctx => {
        void ctx.mailbox.observe(message => {
          Set.prototype.delete = () => {
            throw new Error('no set');
          };
          return handle(message);
        });
      },
    });
    let cause = '';
    const asked = kernel.ask<'probe', string>('probe', reply => ({
      kind: 'throws',
      reply,
    }));
    asked.catch((err: unknown) => (cause = String(err)));
    await Promise.resolve();
    await Promise.resolve();
    Set.prototype.delete = forget;
    await recorded.clock.settle();
    expect(cause).toContain('throws');
  });

  // Guards against an ask that is rejected for an error at another message.
  test('leaves the asks of other messages open', async () => {
    let answer = (value: string): void => void value;
    await kernel.start({
      ...goingOn,
      start: ctx => {
        void ctx.mailbox.observe(message => {
          if (message.kind !== 'answers') return handle(message);
          answer = message.reply;
        });
      },
    });
    const asked = kernel.ask<'probe', string>('probe', reply => ({
      kind: 'answers',
      reply,
    }));
    kernel.send('probe', {kind: 'throws'});
    await recorded.clock.settle();
    expect(failedAt('throws')).toBe(1);
    answer('late');
    expect(await asked).toBe('late');
  });

  // Guards against an error in what follows an error.
  test.each<{
    readonly broken: string;
    readonly sinks: (runtime: Runtime) => Partial<Runtime>;
    readonly fails?: boolean;
  }>([
    {
      broken: 'the log',
      sinks: ({log}) => ({
        log: (event, fields) => {
          if (event === KERNEL_EVENTS.messageFailed) throw new Error('no log');
          log(event, fields);
        },
      }),
    },
    {
      broken: 'the counter',
      sinks: ({metrics}) => ({
        metrics: {
          ...metrics,
          count: () => {
            throw new Error('no counter');
          },
        },
      }),
    },
    {broken: 'the repair', sinks: () => ({}), fails: true},
  ])('ends the message where $broken fails too', async broken => {
    const {runtime} = recorded;
    kernel = createKernel({...runtime, ...broken.sinks(runtime)});
    await kernel.start({
      ...goingOn,
      messageFailed: (_ctx, message) => {
        repaired.push(message);
        if (broken.fails) throw new Error('no repair');
      },
    });
    const asked = kernel.ask<'probe', string>('probe', reply => ({
      kind: 'throws',
      reply,
    }));
    const rejected = expect(asked).rejects.toThrow('throws');
    note('behind');
    await recorded.clock.runFor(RESTART_MS);
    await rejected;
    expect(notes).toEqual(['behind']);
    expect(repaired).toHaveLength(1);
    expect(starts).toBe(1);
  });

  // Guards against a service that can't be restarted where it asks for that.
  test('still lets the service fail by itself', async () => {
    await kernel.start(goingOn);
    context.fail(new Error('by itself'));
    await recorded.clock.runFor(RESTART_MS);
    expect(starts).toBe(2);
  });
});

// Guards against a service that goes on with a state that nobody has renewed.
test.each(['throws', 'rejects'] as const)(
  'a service that does not say that it goes on is restarted where a handler %s',
  async kind => {
    await kernel.start(failing);
    const asked = kernel.ask<'probe', string>('probe', reply => ({
      kind,
      reply,
    }));
    const rejected = expect(asked).rejects.toThrow('not running');
    await recorded.clock.settle();
    await rejected;
    expect(kernel.runningServices()).toEqual([]);
    await recorded.clock.runFor(RESTART_MS);
    expect(starts).toBe(2);
    expect(failedAt(kind)).toBe(0);
    expect(recorded.metrics.total(SERVICE_FAILED_METRIC)).toBe(1);
    note('later');
    await recorded.clock.settle();
    expect(notes).toEqual(['later']);
  },
);

describe('a release of a service that fails', () => {
  const forever = () => new Promise<void>(() => undefined);
  const owning = (
    ...releases: ReadonlyArray<() => void | Promise<void>>
  ): ServiceSpec<'probe'> => ({
    ...failing,
    start: ctx => {
      for (const release of releases) ctx.own(release);
      return failing.start(ctx);
    },
  });

  // Guards against a service that never starts again behind one release.
  test('keeps it from starting again for a bounded time where it never ends', async () => {
    let released = 0;
    await kernel.start(owning(() => void released++, forever));
    context.fail(new Error('it fails'));
    await recorded.clock.runFor(RELEASES_MS + RESTART_MS);
    expect([starts, released]).toEqual([2, 1]);
    const causes = recorded
      .eventsOf(KERNEL_EVENTS.serviceFailed)
      .map(it => String(it.fields['cause']));
    expect(causes.filter(it => it.includes('not released in'))).toHaveLength(1);
  });

  // Guards against a cleanup that an error in another one leaves out.
  test('does not keep the other releases and the start from running', async () => {
    let released = 0;
    const throwing = () => {
      throw new Error('no release');
    };
    const rejecting = () => Promise.reject(new Error('no release'));
    await kernel.start(owning(() => void released++, throwing, rejecting));
    context.fail(new Error('it fails'));
    await recorded.clock.runFor(RESTART_MS);
    expect([starts, released]).toEqual([2, 1]);
  });

  // Guards against a stop of the process that waits for a release that never ends.
  test('keeps no stop from ending', async () => {
    await kernel.start(owning(forever));
    let isStopped = false;
    void kernel.stop().then(() => (isStopped = true));
    await recorded.clock.runFor(RELEASES_MS);
    expect(isStopped).toBe(true);
  });

  // Guards against timers of releases that have ended in time.
  test('leaves no timer behind where it ends in time', async () => {
    await kernel.start(owning(() => Promise.resolve()));
    await kernel.stop();
    expect(recorded.clock.pending()).toBe(0);
  });
});
