// The verdict on a scene, from what its callers and servers recorded.
#pragma once

#include "soak/scene_run.h"

#include <map>

namespace parsleyloft {

struct scene_verdict
{
    std::size_t calls = 0;
    // Requests that ran at least once.
    std::size_t ran = 0;
    // The number of calls by outcome, and by status and behaviour.
    std::map<std::string, std::size_t> outcomes;
    std::map<std::string, std::size_t> reasons;
    // One for each broken promise, with the ids of the requests concerned.
    std::vector<std::string> breaches;
    std::set<std::string> requests;
};

auto judgeScene(const scene_record &record) -> scene_verdict;

// Prints the counts, the breaches, and what callers, servers and hosts recorded of the requests
// concerned. The outputs of the hosts are read in the directory.
auto printVerdict(const scene_verdict &verdict, const scene_record &record,
                  const std::string &directory) -> void;

} // namespace parsleyloft
