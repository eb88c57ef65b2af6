/** Starts a program for a test and reads its ready line. */
import {spawn} from 'node:child_process';
import {createInterface} from 'node:readline';

export interface Program {
  /** `http://ip:port` of its listener. */
  readonly url: string;
  readonly pid: number;
  /** Sends SIGTERM and resolves to the exit code. */
  end(): Promise<number | null>;
}

/** Starts the TypeScript program at `path` on a free port. */
export async function startProgram(
  path: string,
  args: readonly string[] = [],
): Promise<Program> {
  const all = ['--import', 'tsx', path, '--listen', '127.0.0.1:0', ...args];
  const child = spawn(process.execPath, all, {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const exited = new Promise<number | null>(resolve => {
    child.on('exit', code => resolve(code));
  });
  const line = await new Promise<string>((resolve, reject) => {
    createInterface(child.stdout).once('line', resolve);
    void exited.then(code => reject(new Error(`${path} ended with ${code}`)));
  });
  const {listening} = JSON.parse(line) as {listening: string};
  return {
    url: `http://${listening}`,
    pid: child.pid ?? 0,
    end: () => {
      child.kill('SIGTERM');
      return exited;
    },
  };
}

/** Posts JSON and rejects when it is not taken. */
export async function postJson(url: string, body: object): Promise<void> {
  const res = await fetch(url, {method: 'POST', body: JSON.stringify(body)});
  if (!res.ok) throw new Error(`POST ${url}: ${res.status}`);
}
