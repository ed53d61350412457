/**
 * Test harness that runs many real mixer processes against one emulated store. Every link between
 * them passes through a relay that injects faults by a schedule. {@link
 * gingerring.emulator.harness.FleetScenario} describes a run and {@link
 * gingerring.emulator.harness.Fleet} executes it. The harness communicates with the mixers over
 * sockets only. The same scenario and seed give the same fault schedule. The verdict combines the
 * violations of the protocol's rules with crashed processes and errors of the harness.
 */
package gingerring.emulator.harness;
