import {describe, expect, it} from 'vitest';
import {followConfig} from '../src/config/follow_config.js';
import {createKernel} from '../src/kernel/kernel.js';
import type {ServiceSpec} from '../src/types/kernel.js';
import {createRecordingRuntime} from '../standins/recording_runtime.js';

const INITIAL = {} as never;

function configService(number: () => number): ServiceSpec<'config'> {
  return {
    name: 'config',
    start: ctx => {
      void ctx.mailbox.observe(message => {
        if (message.kind === 'subscribe') {
          message.listener({number: number(), declarations: INITIAL});
        }
        if (message.kind === 'peer-number') throw new Error('the service ends');
      });
    },
  };
}

describe('a service that follows the configuration', () => {
  // A subscription sent between two starts of `config` is dropped. Without a
  // repeat, the service would know no organisation and refuse every request.
  it('receives each number once, even if it subscribed between two starts', async () => {
    const {clock, runtime} = createRecordingRuntime();
    const kernel = createKernel(runtime);
    let number = 3;
    const heard: number[] = [];
    await kernel.start(configService(() => number));
    kernel.send('config', {kind: 'peer-number', peer: '', number: 4});
    await clock.settle();
    expect(kernel.runningServices()).not.toContain('config');
    await kernel.start({
      name: 'limits',
      start: ctx => followConfig(ctx, config => heard.push(config.number)),
    });
    expect(heard).toEqual([]);
    await clock.runFor(10_000);
    expect(heard).toEqual([3]);
    number = 4;
    await clock.runFor(10_000);
    expect(heard).toEqual([3, 4]);
    await kernel.stop();
  });
});
