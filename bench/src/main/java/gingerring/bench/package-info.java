/** Benchmarks, none of which is a test. JMH for cores; programs for whole files and whole runs. */
package gingerring.bench;
