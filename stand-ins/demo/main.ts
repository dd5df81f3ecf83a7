import process from 'node:process';
import {runDemo} from './run-demo.ts';

process.exitCode = await runDemo();
