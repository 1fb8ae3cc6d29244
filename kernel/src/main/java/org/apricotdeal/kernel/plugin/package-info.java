/** Plug-ins through which the parts of a process register with its kernel. */
package org.apricotdeal.kernel.plugin;
