// The words `laurelhaven list ...`: what the kept list holds, why an endpoint is or is not trusted, whether a
// file is sound, and how operators take a list out or put one in. Reads and writes files; speaks to no
// network.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

#include "settings/settings.hpp"

namespace laurelhaven::commands {

struct ListFile {
    std::string path;    ///< of the kept list
    std::string sender;  ///< whose list; empty: anybody's
    trust::RecordMs now = 0;
};

// All return the exit status: 0 fine, 1 what was asked for is not so, 2 it can't be done.

/// A table, or JSON, of entries and destinations.
int listShow(const ListFile& file, const settings::Settings& settings, bool json, std::ostream& out,
             std::ostream& err);
int listExplain(const ListFile& file, const settings::Settings& settings, const std::string& endpoint,
                std::ostream& out, std::ostream& err);
/// 0 only where every byte of the file is good.
int listCheck(const ListFile& file, bool json, std::ostream& out, std::ostream& err);
/// In discovery's form, as the configuration's `known` has it.
int listExport(const ListFile& file, std::ostream& out, std::ostream& err);
/// From discovery's form. The entries count as given by configuration, now; tombstones of a list that is
/// there already stay, unless the new one counts higher.
int listImport(const ListFile& file, const std::string& from, std::uint64_t budget, std::ostream& out,
               std::ostream& err);

}  // namespace laurelhaven::commands
