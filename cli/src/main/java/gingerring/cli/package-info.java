/**
 * The command line {@code gingerring}: parses arguments, prints results and returns exit codes. The
 * functions themselves are in other packages.
 */
package gingerring.cli;
