/** Commands of the tool, their registration, output and exit codes. */
package org.apricotdeal.tool.command;
