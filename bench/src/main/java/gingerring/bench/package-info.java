/**
 * Benchmarks, which are not part of the tests: JMH benchmarks of single components, and programs
 * that measure whole files and whole runs.
 */
package gingerring.bench;
