#!/usr/bin/env node
/** Entry point of the operators' command line. */
import {Cli} from 'clipanion';
import {runTool} from './tool.js';

process.exitCode = await runTool(process.argv.slice(2), Cli.defaultContext);
