/** Messages between processes: generated from the .proto files, and their conversion to the types of decisions. */
export * from './create-queue.ts';
export * from './decode-point.ts';
export * from './decode-report.ts';
export * from './decode-result.ts';
export * from './decode-statement.ts';
export * from './decode-value.ts';
export * from './encode-result.ts';
export * from './encode-statement.ts';
export * from './encode-value.ts';
export * from './format-results.ts';
export * from './parse-results.ts';
export * from './gen/caller_pb.ts';
export * from './gen/endpoint_pb.ts';
export * from './gen/host_pb.ts';
export * from './gen/operator_pb.ts';
export * from './gen/platform_pb.ts';
export * from './gen/values_pb.ts';
