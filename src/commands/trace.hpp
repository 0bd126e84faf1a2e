// The words `laurelhaven trace ...`: what a captured load looks like, and traces made out of traces. Reads
// and writes files; speaks to no network.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include "trace/shape.hpp"

namespace laurelhaven::commands {

struct TraceIn {
    std::vector<std::string> files;  ///< rotated files, or those of several senders
    bool progress = false;           ///< lines on `err` while it takes long
};

// All return the exit status: 0 fine, 1 done but a file is damaged or cut, 2 it can't be done.

/// Rates, clumps and tails; as JSON, or a table. With `plots`, SVG files go into that folder.
int traceSummarise(const TraceIn& in, bool json, const std::string& plots, std::ostream& out,
                   std::ostream& err);
int traceCut(const TraceIn& in, const trace::Cut& cut, const std::string& to, std::ostream& out,
             std::ostream& err);
int traceScale(const TraceIn& in, const trace::Scale& scale, const std::string& to, std::ostream& out,
               std::ostream& err);
int traceMerge(const TraceIn& in, bool align, const std::string& to, std::ostream& out, std::ostream& err);
/// CSV with a line of names: time (seconds) and destination; class, tenant, bytes, deadline_ms, id where
/// there are.
int traceImportCsv(const std::string& from, const std::string& to, std::ostream& out, std::ostream& err);

}  // namespace laurelhaven::commands
